import { createHmac } from 'node:crypto'

/** Who opened a session with whom, and the nonce of each. */
interface SessionParties {
  readonly opener: string
  readonly acceptor: string
  readonly openerNonce: Uint8Array
  readonly acceptorNonce: Uint8Array
}

/** What the two ends of one session prove and seal with. */
interface SessionKeys {
  readonly openerProof: Buffer
  readonly acceptorProof: Buffer
  readonly openerKey: Buffer
  readonly acceptorKey: Buffer
}

/**
 * Derives the proofs and sealing keys of one session from the shared secret. Both nonces and both names go in, so
 * that nothing recorded from one session is of use in another, nor between other daemons.
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
