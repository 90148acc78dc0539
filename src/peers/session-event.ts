/** What a session returns for received bytes: bytes to send back, the authentication of the peer, or a value from it. */
export type SessionEvent =
  | { readonly type: 'send', readonly bytes: Buffer }
  | { readonly type: 'proven', readonly peer: string }
  | { readonly type: 'value', readonly value: Readonly<Record<string, unknown>> }
