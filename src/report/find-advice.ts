/** What a manager or operator can do about refusals and failures, by cause. */
const ADVICE: Readonly<Record<string, string>> = {
  overloaded: 'more was asked for than the pool and the shares allow: add servers to the pool, raise the share of callers that matter more, or spread the hours',
  'no server': 'no server of the pool was well: look for servers that were down or leaving (citronwheel timeline)',
  deadline: 'answers took longer than limits.deadline: look at the times below, and at servers that were slow',
  'server failed': 'a server failed after the request was sent and it may not be repeated, or repeats failed too: look for servers that were lost',
  quarantined: 'the request ended servers that ran it and is kept off them: see docs/OPERATIONS/quarantine.md',
  draining: 'the daemon was shutting down: the caller is to ask for addresses more often',
  platform: 'the platform could not be reached for a request with an idempotency key: see docs/OPERATIONS/platform-outage.md',
  'bad key': 'the caller sent an idempotency key that is empty or too long: it has to mend that',
  mismatch: 'the caller used an idempotency key for another request: it has to mend that',
  'in progress': 'the caller sent a request again while it ran: it is to wait for the answer',
  unknown: 'it may have run once, and may not be repeated: whoever asked has to find out',
  'not kept': 'it ran, and its answer was too long to be kept for a second asking',
  cut: 'the answer broke off: the caller left, or the server failed when its answer could not be resumed',
  cancelled: 'the caller cancelled the job',
  'result-too-large': 'the answer of the item is over the limit of a result: ask for less in one item',
  'no-such-service': 'the item names a service that the configuration does not have'
}

/** What to do about a cause; causes come from servers too, so there are others. */
export function findAdvice (cause: string): string {
  if (cause.startsWith('status-5')) return 'the server answered with this status, which says that it failed itself: ask those who run it'
  return ADVICE[cause] ?? 'not one of ours: read the results of the items or ask the server that gave it'
}
