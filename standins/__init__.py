"""Stand-ins for the external systems of auburnsail: platform, upstreams and links."""
