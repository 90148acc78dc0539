import { Lifecycle, scoped } from 'tsyringe'

/** Lets parts request the graceful shutdown of their daemon; the process that runs it waits for that. */
@scoped(Lifecycle.ContainerScoped)
export class Shutdown {
  private settle = (): void => {}
  private readonly requested = new Promise<void>(resolve => { this.settle = resolve })

  /** Requests the shutdown. */
  begin (): void {
    this.settle()
  }

  /** Resolves once the shutdown has been requested. */
  async wait (): Promise<void> {
    await this.requested
  }
}
