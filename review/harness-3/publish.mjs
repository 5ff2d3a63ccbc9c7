/** Writes the entry of an instance, as the instance itself does. */
export const publishInstance = (store, id, service, address, fields = {}) => store.write(`servers/${id}`, {
  address,
  born: 1_790_000_000_000,
  info: {
    service, zone: fields.zone ?? 'osr-a', capacity: fields.capacity ?? 4, version: '1',
  },
  status: { state: fields.state ?? 'ready', seq_no: 1, warmup_left: '0ms' },
});

/** Writes a configuration of the operator. */
export const publishConfiguration = (store, version, routes, services, limits = {}) => store.write('op/config', {
  version,
  routes: Object.fromEntries(Object.entries(routes).map(([name, route]) => [name, {
    name, host: 'osr.example', timeout: '8s', target_latency: '1s', priority: 1, max_attempts: 2, ...route,
  }])),
  services: Object.fromEntries(services.map((name) => [name, { name, health_path: '/health', max_connections: 390 }])),
  limits: {
    max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3s', idle_timeout: '15s', ...limits,
  },
});
