/** Entry point of the daemon of one host on the platform: handles its signals before anything else is loaded, then loads the daemon. */

let stopDaemon: (() => Promise<void>) | undefined

process.on('SIGTERM', () => {
  // Until the daemon has been loaded, nothing is served and no lease is held.
  if (stopDaemon === undefined) process.exit(0)
  void stopDaemon()
})

// The default action would end the process. The daemon reads the settings when it is loaded, and then handles the signal itself.
process.on('SIGHUP', () => {})

import('./daemon.js').then(({ stop }) => { stopDaemon = stop }).catch((error: unknown) => {
  console.error(JSON.stringify({ level: 60, msg: 'the host cannot start', error: error instanceof Error ? error.stack : String(error) }))
  process.exit(1)
})
