/** Period of the watch, and the gap from which it counts as a standstill, ms. */
const PERIOD = 20
const MIN_LENGTH = 100

interface Standstill { readonly from: number, readonly to: number }

/** Watches for times in which this process did nothing. Callers, relays, servers and the store of a soak stand still with it. */
export class Standstills {
  readonly all: Standstill[] = []
  private readonly timer: NodeJS.Timeout
  private last: number

  /** `now` returns ms. */
  constructor (private readonly now: () => number) {
    this.last = now()
    this.timer = setInterval(() => this.watch(), PERIOD)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private watch (): void {
    const now = this.now()
    if (now - this.last >= MIN_LENGTH) this.all.push({ from: this.last, to: now })
    this.last = now
  }
}
