/** Collects the results of checks, to print them together. */
export class Checks {
  private readonly lines: string[] = []
  private failures = 0

  /** Records a check; `detail` tells what was observed. */
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
