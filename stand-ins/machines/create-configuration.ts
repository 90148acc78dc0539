const HOST = 'desk.example'

interface Caller { readonly name: string, readonly key: string, readonly rate?: number, readonly burst?: number }

/** Creates a configuration as an operator writes it: resumable and other streams, jobs and, if `hasExtra`, one more route. */
export function createConfiguration (version: number, { hasExtra, callers }: { readonly hasExtra: boolean, readonly callers: readonly Caller[] }): unknown {
  const route = { host: HOST, timeout_ms: 5_000, slo_ms: 300, priority: 0, service: 'helm', attempts: 2 }
  return {
    version,
    routes: [
      { ...route, name: 'quotes', path_prefix: '/quotes/', kind: 'streaming', resumable: true },
      { ...route, name: 'berths', path_prefix: '/berths/', kind: 'streaming', resumable: false, attempts: 1 },
      { ...route, name: 'drafts', path_prefix: '/drafts/', kind: 'batch', run_aim_ms: 18_000, max_wait_s: 60, cap: 100_000, attempts: 3 },
      ...hasExtra ? [{ ...route, name: 'extra', path_prefix: '/extra/', kind: 'streaming', resumable: true }] : []
    ],
    services: [{ name: 'helm' }],
    tenants: callers.map(({ name, key, rate = 0, burst = 0 }) => ({ name, api_keys: [key], rate_per_s: rate, burst })),
    limits: { max_body_bytes: 4_194_304 }
  }
}
