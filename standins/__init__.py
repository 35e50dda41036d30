"""Stand-ins for the outside systems that auburnsail meets: platform, upstreams, links."""
