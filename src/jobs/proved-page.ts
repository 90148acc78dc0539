import type { PageProof } from './page-proof.js'
import type { ResultsPage } from './results-page.js'

/** A page of results; an empty one with the proof that it lacks nothing that callers may have read. */
export interface ProvedPage { readonly page: ResultsPage, readonly proof?: PageProof }
