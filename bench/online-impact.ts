import type { Ratio } from './ratio.js'

/** Latency of online requests under a policy relative to the same requests without batch work. */
export interface OnlineImpact {
  readonly letter: string
  readonly firstTokenP99: Ratio
  readonly firstTokenP999: Ratio
  readonly betweenTokensP99: Ratio
}
