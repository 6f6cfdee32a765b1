"""Settings of the lean entry and control programs, as an adapter hands them over."""

import attrs

from zinniaspoke import errors


@attrs.frozen(kw_only=True)
class Common:
    """What both programs need.

    Attributes:
        name: The VM's name, for logs.
        zone: Its availability zone.
        host: Its IP number.
        peer_port: TCP port on which control VMs listen for entry VMs and for each other.
        seeds: Control VMs to start from, HOST:PORT of their peer port.
        announcement_interval_s: How often targets announce themselves.
        flow_life_s: Flows may be dropped when they are older.
        contact_s: After a fault, time within which all reachable VMs are connected again.
        stop_limit_s: A planned stop has to end by then.
        metrics: Where counters are served, or None.
        cold_overage: Factor on the openings a second that a cold target bears; None for no limit.
        cold_slack: Openings a second that a cold target may get beyond that.
        shared_evidence: Whether entry VMs report bad targets to each other through control VMs.
    """

    name: str
    zone: str
    host: str
    peer_port: int
    seeds: tuple[str, ...]
    announcement_interval_s: float
    flow_life_s: float
    contact_s: float
    stop_limit_s: float
    metrics: tuple[str, int] | None = None
    cold_overage: float | None = None
    cold_slack: float = 0.0
    shared_evidence: bool = False

    def __attrs_post_init__(self) -> None:
        """Checks what no later step would notice."""
        if not 0 < self.peer_port < 65536:
            raise self._error("peer_port", "not a port")
        for field in ("announcement_interval_s", "flow_life_s", "contact_s", "stop_limit_s"):
            if not getattr(self, field) > 0:
                raise self._error(field, "not above 0")
        for field in ("cold_overage", "cold_slack"):
            if not (getattr(self, field) or 0) >= 0:
                raise self._error(field, "below 0")

    def _error(self, field: str, reason: str) -> errors.SettingsError:
        return errors.SettingsError(step="check settings", peer=field, reason=reason)

    @property
    def peer_name(self) -> str:
        """Name of this VM among control VMs."""
        return f"{self.host}:{self.peer_port}"


@attrs.frozen(kw_only=True)
class Control(Common):
    """Settings of the control program.

    Attributes:
        data_folder: Folder on the disk.
        calls: Where targets and operators call.
        may_bootstrap: Whether this is the very first start.
        lost_disk_count: Disks that may be lost at once.
        numbering: Which rule numbers are accepted.
        zones: The deployment's zones, which orders may name; empty for any well-formed name.
    """

    data_folder: str
    calls: tuple[str, int]
    may_bootstrap: bool
    lost_disk_count: int
    numbering: str
    zones: tuple[str, ...] = ()

    @property
    def voter_count(self) -> int:
        """Replicas that agree: a majority is left when the bearable ones are lost."""
        return 2 * max(1, self.lost_disk_count) + 1


@attrs.frozen(kw_only=True)
class Entry(Common):
    """Settings of the entry program.

    Attributes:
        packets: Where packets arrive.
        ready: Where the fabric asks whether this VM is ready.
        flow_location: How a flow's target is found; see ``location``.
        link_bytes_per_s: Bandwidth of its link; 0 where packets are sent as they come.
        hedge_share: Largest share of openings that may be hedged; 0 for none. See ``hedging``.
        zone_preference: Whether targets of its availability zone are preferred.
    """

    packets: tuple[str, int]
    ready: tuple[str, int]
    flow_location: str = "tokens"
    link_bytes_per_s: float = 0.0
    hedge_share: float = 0.0
    zone_preference: bool = False

    def __attrs_post_init__(self) -> None:
        """Checks what no later step would notice."""
        super().__attrs_post_init__()
        if not self.link_bytes_per_s >= 0:
            raise self._error("link_bytes_per_s", "below 0")
        if not 0 <= self.hedge_share <= 1:
            raise self._error("hedge_share", "not a share between 0 and 1")
