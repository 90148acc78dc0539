import type { Request, Response } from '@tinyhttp/app'

/** Who may call a route: callers with a token, operators, or anybody. */
type Access = 'caller' | 'operator' | 'public'

/** One route of the HTTP interface, contributed by a part. */
export interface Route {
  readonly method: 'get' | 'post' | 'put' | 'delete' | 'all'
  readonly path: string
  readonly access: Access
  /** `caller` is the authenticated caller's name; empty on routes that aren't for callers. */
  handle (req: Request, res: Response, caller: string): Promise<void> | void
}
