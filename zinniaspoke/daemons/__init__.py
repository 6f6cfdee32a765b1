"""Thin daemons: settings, adapters, core, loop."""
