import type { Refusal } from '../admission/refusal.js'

/** The refusal of a request whose caller left or whose deadline passed before it had a slot. */
export const givenUpRefusal: Refusal = { cause: 'deadline', ran: 'not run', retryAfter: 0, detail: 'it was given up while it waited' }
