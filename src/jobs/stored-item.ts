import type { JobItem } from './job-item.js'

/** An item as stored, or a further piece of the body of the item before it. */
export type StoredItem = JobItem | { readonly continued: string }
