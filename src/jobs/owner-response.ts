import type { ResultsPage } from './results-page.js'

/** What the owner of a job answers; a daemon that doesn't own it gives none. */
export type OwnerResponse =
  | { readonly type: 'page', readonly page: ResultsPage }
  | { readonly type: 'body', readonly body: string | undefined }
  | { readonly type: 'done' }
