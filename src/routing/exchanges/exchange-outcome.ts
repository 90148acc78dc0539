/** How an exchange ended: `error` is a whole answer with which the server reports that its run failed. */
export type ExchangeOutcome = 'answered' | 'error' | 'failed' | 'abandoned'
