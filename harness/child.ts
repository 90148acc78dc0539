import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const BUNDLE: readonly string[] = [process.execPath, 'dist/citronwheel.cjs']
const running = new Set<ChildProcess>()

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

/** A process of the program, started by a script or test and killed when that exits. */
export class Child {
  /** Everything it wrote to standard error. */
  errors = ''
  private readonly process: ChildProcess
  private readonly exit: Promise<number>

  private constructor ([program, ...args]: readonly string[], env: Readonly<Record<string, string>>) {
    this.process = spawn(program!, args, { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...env } })
    running.add(this.process)
    this.process.stderr!.on('data', text => { this.errors += text })
    this.exit = once(this.process, 'exit').then(([code, signal]) => {
      running.delete(this.process)
      return code ?? (signal === 'SIGKILL' ? 137 : 128)
    })
  }

  /** Starts a process and waits for its first line of output, a JSON object that tells where it listens. */
  static async start<T> (args: readonly string[], { program = BUNDLE, env = {} }: { readonly program?: readonly string[], readonly env?: Readonly<Record<string, string>> } = {}): Promise<{ readonly child: Child, readonly ready: T }> {
    const child = new Child([...program, ...args], env)
    const lines = createInterface({ input: child.process.stdout! })
    const line = await Promise.race([
      once(lines, 'line').then(([line]) => line as string),
      child.exit.then(code => { throw new Error(`${args.join(' ')} ended with ${code}: ${child.errors}`) })
    ])
    return { child, ready: JSON.parse(line) }
  }

  /** Id of the process. */
  get pid (): number {
    return this.process.pid!
  }

  /** Stops reading its standard output. */
  pauseOutput (): void {
    this.process.stdout!.removeAllListeners('data')
    this.process.stdout!.pause()
  }

  signal (signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP' | 'SIGUSR2'): void {
    this.process.kill(signal)
  }

  /** Calls `listener` with each line that it writes to standard output from now on. */
  onLine (listener: (line: string) => void): void {
    createInterface({ input: this.process.stdout! }).on('line', listener)
  }

  /** Resolves with the exit code; 137 after SIGKILL, 128 after another signal. */
  async waitForExit (): Promise<number> {
    return await this.exit
  }
}
