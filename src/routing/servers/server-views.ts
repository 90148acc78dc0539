import { Lifecycle, scoped } from 'tsyringe'
import type { ServerView } from './server-view.js'

/** The newest view of each backend server, as published by its owner. */
@scoped(Lifecycle.ContainerScoped)
export class ServerViews {
  private readonly views = new Map<string, ServerView>()
  private readonly listeners = new Set<(view: ServerView) => void>()

  get (server: string): ServerView | undefined {
    return this.views.get(server)
  }

  /** Stores a view unless it comes from an earlier owner than the current one. */
  update (view: ServerView): void {
    if (view.fencing < (this.views.get(view.server)?.fencing ?? 0)) return
    this.views.set(view.server, view)
    for (const listener of this.listeners) listener(view)
  }

  /** Calls `listener` with each view that is stored. */
  subscribe (listener: (view: ServerView) => void): void {
    this.listeners.add(listener)
  }

  remove (server: string): void {
    this.views.delete(server)
  }
}
