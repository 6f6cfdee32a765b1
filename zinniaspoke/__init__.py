"""A layer-4 load balancer whose flows outlive planned changes."""
