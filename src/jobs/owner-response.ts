import type { ResultsPage } from './results-page.js'

/** The response of a job's owner. A daemon that doesn't own the job responds with undefined. */
export type OwnerResponse =
  | { readonly type: 'page', readonly page: ResultsPage }
  | { readonly type: 'body', readonly body: string | undefined }
  | { readonly type: 'done' }
