import { Lifecycle, scoped } from 'tsyringe'

/** Where parts ask for the graceful end of their daemon; whoever runs it waits for that. */
@scoped(Lifecycle.ContainerScoped)
export class Shutdown {
  private settle = (): void => {}
  private readonly requested = new Promise<void>(resolve => { this.settle = resolve })

  begin (): void {
    this.settle()
  }

  /** Resolves once it has been asked for. */
  async wait (): Promise<void> {
    await this.requested
  }
}
