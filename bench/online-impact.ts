import type { Ratio } from './ratio.js'

/** What a policy does to online requests, over the same requests without batch. */
export interface OnlineImpact {
  readonly letter: string
  readonly firstTokenP99: Ratio
  readonly firstTokenP999: Ratio
  readonly betweenTokensP99: Ratio
}
