/** Advice for managers and operators on refusals and failures, by cause. */
const ADVICE: Readonly<Record<string, string>> = {
  overloaded: 'demand exceeded the capacity of the pool or the share of the caller: add servers to the pool, raise the share of important callers, or spread the load over the day',
  'no server': 'no server of the pool was available: check for servers that were down or leaving (citronwheel timeline)',
  deadline: 'answers took longer than limits.deadline: check the response times and look for slow servers',
  'server failed': 'a server failed after the request was sent, and the request must not be retried or its retries failed too: check for lost servers',
  quarantined: 'the request crashed servers that ran it and is quarantined: see docs/OPERATIONS/quarantine.md',
  'invalid request': 'the request can not be sent as it came, for example because of a character in a header: fix the caller',
  draining: 'the daemon was shutting down: the caller should refresh its list of addresses more often',
  platform: 'the platform could not be reached for a request with an idempotency key: see docs/OPERATIONS/platform-outage.md',
  'bad key': 'the caller sent an empty or overlong idempotency key: fix the caller',
  mismatch: 'the caller reused an idempotency key for a different request: fix the caller',
  'in progress': 'the caller repeated a request that was still running: it should wait for the answer',
  unknown: 'the request may have run once and must not be retried: the caller has to check whether it took effect',
  'not kept': 'the request completed, but its answer was too long to be stored for a repeated request',
  cut: 'the answer was cut off: the caller disconnected, or the server failed and the answer could not be resumed',
  cancelled: 'the caller cancelled the job',
  'result-too-large': 'the answer to the item exceeds the result size limit: request less per item',
  'no-such-service': 'the item names a service that is not in the configuration'
}

/** Returns advice on a cause. Servers report causes of their own, for which the advice is general. */
export function findAdvice (cause: string): string {
  if (cause.startsWith('status-5')) return 'the server answered with this error status: contact its operators'
  return ADVICE[cause] ?? 'cause reported by a server: see the results of the items or contact the operators of the server'
}
