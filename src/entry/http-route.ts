import type { Request, Response } from '@tinyhttp/app'

/** Access to a route: callers with a token, operators, or everyone. */
type Access = 'caller' | 'operator' | 'public'

/** One route of the HTTP interface, contributed by a part. */
export interface HttpRoute {
  readonly method: 'get' | 'post' | 'put' | 'delete' | 'all'
  readonly path: string
  readonly access: Access
  /** Handles a request. `caller` is the authenticated caller's name, empty on routes of other access. */
  handle (req: Request, res: Response, caller: string): Promise<void> | void
}
