package org.guavahatch.gateway

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Ends this event loop, and with it the process, if [error] is a lack of memory: what the handlers of a connection were
 * doing has been interrupted anywhere, so that the counts of slots, bytes and units may be wrong from now on.
 */
internal fun EventLoop.endOnLackOfMemory(error: Throwable) {
    if (error is OutOfMemoryError) shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
}
