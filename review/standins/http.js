/** A small HTTP server and client for the stand-ins: JSON bodies, loopback addresses only. */
import { Agent, createServer, request as sendRequest } from 'node:http'

/** A handler returns this to send no answer and to leave the connection open without any further answer. */
export const noAnswer = Symbol('no answer')

const host = '127.0.0.1'

/**
 * Listens on a free loopback port. `handle` gets the method, the URL, the decoded body and the headers, and returns `{ status, body }` or `noAnswer`.
 */
export async function listen (handle) {
  let isDown = false
  const mute = new WeakSet()
  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => { answer(request, response, Buffer.concat(chunks).toString()).catch(() => { response.destroy() }) })
  })
  server.keepAliveTimeout = 60_000
  server.on('connection', socket => {
    socket.on('error', () => {})
    if (isDown) socket.resetAndDestroy()
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })

  return {
    address: `${host}:${server.address().port}`,
    /** While down, open and new connections are reset. */
    setDown (isDownNow) {
      isDown = isDownNow
      if (isDown) server.closeAllConnections()
    },
    close () {
      server.close()
      server.closeAllConnections()
    }
  }

  async function answer (request, response, text) {
    const url = new URL(request.url, 'http://standin')
    const result = await handle(request.method, url, text === '' ? {} : JSON.parse(text), request.headers)
    if (result === noAnswer) mute.add(request.socket)
    if (mute.has(request.socket) || response.destroyed) return
    const body = Buffer.from(result.body === undefined ? '' : JSON.stringify(result.body))
    response.writeHead(result.status, { 'Content-Type': 'application/json', 'Content-Length': body.length })
    response.end(body)
  }
}

const agent = new Agent({ keepAlive: true, maxSockets: 8 })

/** Sends one request. Resolves to `{ status, body }`; the status is 0 if there was no complete answer within `timeoutMs`. */
export function call (address, { method, path, body, headers = {}, timeoutMs = 3_000 }) {
  const [ip, port] = address.split(':')
  const text = body === undefined ? '' : JSON.stringify(body)
  return new Promise(resolve => {
    const request = sendRequest({ host: ip, port: Number(port), method, path, agent, headers: { ...headers, 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) } })
    const timer = setTimeout(() => { finish({ status: 0, error: `no answer within ${timeoutMs} ms` }) }, timeoutMs)
    request.on('error', error => { finish({ status: 0, error: error.message }) })
    request.on('response', response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', error => { finish({ status: 0, error: error.message }) })
      response.on('end', () => {
        const answer = Buffer.concat(chunks).toString()
        finish({ status: response.statusCode, body: answer === '' ? undefined : JSON.parse(answer) })
      })
    })
    request.end(text)

    function finish (result) {
      clearTimeout(timer)
      resolve(result)
      if (result.status === 0) request.destroy()
    }
  })
}
