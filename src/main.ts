import 'reflect-metadata'
import { Cli } from 'clipanion'
import { commands } from './commands/commands.js'

const cli = new Cli({ binaryName: 'citronwheel', binaryLabel: 'citronwheel', binaryVersion: '0.1.0' })
for (const command of commands) cli.register(command)
void cli.runExit(process.argv.slice(2))
