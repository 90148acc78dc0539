/** What is asked of the daemon that gives trials out. An ask is repeated for as long as its asker wants the trial. */
export type TrialsEvent =
  | { readonly type: 'ask', readonly id: string, readonly fingerprint: string, readonly servers: readonly string[] }
  | { readonly type: 'done', readonly id: string }
