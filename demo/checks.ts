/** Collects what was checked and what didn't hold, so that all of it is told together. */
export class Checks {
  private readonly lines: string[] = []
  private failures = 0

  /** Notes a check; `detail` says what was seen. */
  expect (holds: boolean, what: string, detail = ''): void {
    if (!holds) this.failures++
    this.lines.push(`${holds ? 'ok    ' : 'FAILED'}  ${what}${detail === '' ? '' : ` (${detail})`}`)
  }

  get allHold (): boolean {
    return this.failures === 0
  }

  show (): string {
    return this.lines.join('\n')
  }
}
