import { countAll } from './count-all.js'
import type { ReportLine } from './report-line.js'

/** A figure of a line. Its name heads a table column and, with underscores, a CSV column. */
interface Column { readonly name: string, readonly read: (line: ReportLine) => number }

/** All figures of a line. Requests and items without an outcome yet are in `asked` and `items` only. */
export const columns: readonly Column[] = [
  { name: 'asked', read: ({ online }) => online.asked },
  { name: 'answered', read: ({ online }) => online.answered },
  { name: 'refused', read: ({ online }) => countAll(online.refused) },
  { name: 'failed', read: ({ online }) => countAll(online.failed) },
  { name: 'tokens', read: ({ online }) => online.tokens },
  { name: 'waited ms', read: ({ online }) => online.waited },
  { name: 'busy got ms', read: ({ online }) => online.got },
  { name: 'busy entitled ms', read: ({ online }) => online.entitled },
  { name: 'items', read: ({ batch }) => batch.asked },
  { name: 'done', read: ({ batch }) => batch.answered },
  { name: 'items failed', read: ({ batch }) => countAll(batch.failed) - (batch.failed.unknown ?? 0) },
  { name: 'items unknown', read: ({ batch }) => batch.failed.unknown ?? 0 },
  { name: 'batch tokens', read: ({ batch }) => batch.tokens },
  { name: 'jobs on time', read: ({ batch }) => batch.jobs['on time'] ?? 0 },
  { name: 'jobs late', read: ({ batch }) => batch.jobs.late ?? 0 },
  { name: 'jobs cancelled', read: ({ batch }) => batch.jobs.cancelled ?? 0 }
]
