import { createHmac } from 'node:crypto'

/** The two ends of a session, with the nonce of each. */
interface SessionParties {
  readonly opener: string
  readonly acceptor: string
  readonly openerNonce: Uint8Array
  readonly acceptorNonce: Uint8Array
}

/** The handshake proofs and frame keys of a session. */
interface SessionKeys {
  readonly openerProof: Buffer
  readonly acceptorProof: Buffer
  readonly openerKey: Buffer
  readonly acceptorKey: Buffer
}

/**
 * Derives the proofs and frame keys of a session from the shared secret. Both nonces and both names are part of the input, so
 * that nothing recorded from one session can be replayed in another or between other daemons.
 */
export function buildSessionKeys (secret: string, { opener, acceptor, openerNonce, acceptorNonce }: SessionParties): SessionKeys {
  const names = JSON.stringify([opener, acceptor])
  const deriveKey = (use: string): Buffer => createHmac('sha256', secret).update(use).update('\0').update(openerNonce).update(acceptorNonce).update(names).digest()
  return {
    openerProof: deriveKey('proof of the opener'),
    acceptorProof: deriveKey('proof of the acceptor'),
    openerKey: deriveKey('frames of the opener'),
    acceptorKey: deriveKey('frames of the acceptor')
  }
}
