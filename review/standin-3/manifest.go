//go:build review

package main

// route is a route of the manifest.
type route map[string]any

// single returns a route to one service.
func single(name, prefix, service, kind string, timeoutMs int) route {
	return route{
		"name": name, "hostname": hostName, "prefix": prefix, "type": kind, "timeout_ms": timeoutMs, "latency_target_ms": 250, "priority": 2,
		"service": service, "max_attempts": 2,
	}
}

// gather returns a route to all shards.
func gather(name, prefix string, shards []string, timeoutMs, topK int, minCoverage float64) route {
	return route{
		"name": name, "hostname": hostName, "prefix": prefix, "type": "safe", "timeout_ms": timeoutMs, "latency_target_ms": 80, "priority": 1,
		"gather": shards, "max_attempts": 2, "top_k": topK, "min_coverage": minCoverage,
	}
}

// manifestOf returns a manifest with the routes.
func manifestOf(version int, services map[string]int, routes ...route) map[string]any {
	var list []map[string]any
	for name, connections := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": connections, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
