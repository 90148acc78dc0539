/** Connections that wait to be read again; see `ReadTurns.wait`. */
class ReadTurns {
  private readonly waiting: Array<() => void> = []
  private isScheduled = false

  /**
   * Calls `resume` in a later turn of the event loop, one of all that wait in each. So clients that cost much processor time in one read,
   * such as by chunks of one byte, leave time for others, however many they are.
   */
  wait (resume: () => void): void {
    this.waiting.push(resume)
    if (!this.isScheduled) this.schedule()
  }

  private schedule (): void {
    this.isScheduled = true
    setImmediate(() => {
      this.waiting.shift()!()
      this.isScheduled = false
      if (this.waiting.length > 0) this.schedule()
    })
  }
}

/** The turns of this process. */
export const readTurns = new ReadTurns()
