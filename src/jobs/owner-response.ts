import type { PageProof } from './page-proof.js'
import type { ResultsPage } from './results-page.js'

/** The response of a job's owner. A daemon that doesn't own the job responds with undefined. */
export type OwnerResponse =
  /** `proof` shows that an empty page lacks nothing; its time is counted from the receipt of the request, ms. */
  | { readonly type: 'page', readonly page: ResultsPage, readonly proof?: PageProof }
  | { readonly type: 'body', readonly body: string | undefined }
  | { readonly type: 'done' }
