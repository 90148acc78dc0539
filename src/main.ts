import 'reflect-metadata'
import { runProgram } from './commands/run-program.js'

void runProgram(process.argv.slice(2)).then(code => { process.exitCode = code })
