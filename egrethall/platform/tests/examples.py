"""Example documents in the format of the platform's store."""

CONFIGURATION = {
    "version": "0000000c",
    "base_version": "0000000b",
    "services": [
        {
            "name": "catalogue",
            "health_path": "/healthz",
            "max_conns": 220,
            "protocol": "h1",
            "tls": False,
            "warmup": "3s",
            "warmup_per_s": 11.0,
        },
        {"name": "archive", "health_path": "/healthz", "warmup_per_s": 11.0},
        {"name": "trades", "health_path": "/healthz", "warmup_per_s": 11.0},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "tenants": [
        {
            "name": "cuka",
            "api_keys": ["first-key", "second-key"],
            "priority": 1,
            "rate_per_s": 58,
            "burst": 58,
        }
    ],
    "virtual_hosts": [
        {
            "host": "Club.example",
            "paths": [
                {
                    "name": "read",
                    "prefix": "/read/",
                    "kind": "idempotent",
                    "timeout": "1200ms",
                    "slo": "400ms",
                    "priority": 2,
                    "traffic_split": [
                        {"service": "catalogue", "weight": 90},
                        {"service": "archive", "weight": 10},
                    ],
                    "max_attempts": 2,
                    "public": False,
                },
                {
                    "name": "trade",
                    "prefix": "/trade/",
                    "kind": "non_idempotent",
                    "timeout": "1500ms",
                    "slo": "500ms",
                    "priority": 1,
                    "service": "trades",
                    "max_attempts": 2,
                    "public": False,
                },
            ],
        }
    ],
}

UPSTREAM = {
    "service": "catalogue",
    "address": "10.0.0.9:8080",
    "zone": "east",
    "version": "v1",
    "concurrency_limit": 6,
    "state": "ready",
    "warmup_left": "1500ms",
    "sequence": 4,
    "born": 1765000000000,
}
