/**
 * Why an item that isn't done is at no server, with what it waits for. Times in monotonic ms.
 * - `slot`: it may start at any server of its route and waits for a broker to grant a slot.
 * - `version`: it waits for a slot at a server of the version that began it, until the given time; then it may begin anew at another.
 * - `suspect part`: it waits for the trial of a part of its prompt by another request.
 * - `refused part`: a part of its prompt is refused because it crashes servers.
 * - `look-up`: no recent read of the store shows that its job has not been ended.
 * - `route`: its route is missing or takes no jobs any more.
 * - `service`: its route sends nothing to any service.
 * - `backoff`: its last run was unsuccessful.
 * - `stopping`: its last run has been told to stop and hasn't ended.
 * - `storing`: it has ended, and its result is not stored yet.
 */
export type WaitingReason =
  | { readonly type: 'slot', readonly trial?: string }
  | { readonly type: 'version', readonly version: string, readonly until: number, readonly trial?: string }
  | { readonly type: 'suspect part', readonly part: string }
  | { readonly type: 'refused part', readonly part: string, readonly left: number }
  | { readonly type: 'look-up' }
  | { readonly type: 'route' }
  | { readonly type: 'service' }
  | { readonly type: 'backoff', readonly until: number }
  | { readonly type: 'stopping' }
  | { readonly type: 'storing' }
