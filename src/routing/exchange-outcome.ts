/** How an exchange ended: `errored` is a whole answer with which the server reports that its run failed. */
export type ExchangeOutcome = 'answered' | 'errored' | 'failed' | 'abandoned'
