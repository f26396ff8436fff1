/** Bounds a logger under load: a token bucket for each sentence, with a count of what was dropped. */
import type { Logger } from './logger.js'

/** Lines of one sentence in a burst. */
const burstLines = 400
/** Lines of one sentence a second after a burst. */
const linesPerS = 100

interface Bucket {
  tokens: number
  filledAtMs: number
  dropped: number
}

/** Wraps a logger; errors are never dropped. */
export function createBoundedLogger (target: Logger): Logger {
  const buckets = new Map<string, Bucket>()
  return wrap(target)

  function wrap (logger: Logger): Logger {
    return {
      debug: (message, fields) => { write(logger.debug, message, fields) },
      info: (message, fields) => { write(logger.info, message, fields) },
      warn: (message, fields) => { write(logger.warn, message, fields) },
      error: logger.error,
      part: prefix => wrap(logger.part(prefix))
    }
  }

  function write (log: Logger['info'], message: string, fields: object | undefined): void {
    const bucket = getBucket(message)
    if (bucket.tokens < 1) {
      bucket.dropped++
      return
    }
    bucket.tokens--
    log(message, bucket.dropped === 0 ? fields : { ...fields, droppedBefore: bucket.dropped })
    bucket.dropped = 0
  }

  function getBucket (message: string): Bucket {
    const nowMs = performance.now()
    let bucket = buckets.get(message)
    if (bucket === undefined) buckets.set(message, bucket = { tokens: burstLines, filledAtMs: nowMs, dropped: 0 })
    bucket.tokens = Math.min(burstLines, bucket.tokens + (nowMs - bucket.filledAtMs) * linesPerS / 1_000)
    bucket.filledAtMs = nowMs
    return bucket
  }
}
