package org.guavahatch.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** The way back to a caller, for one request. */
interface CallerResponder {
    /** Whether the caller keeps up with what is written. */
    val isWritable: Boolean

    /** Sends a whole answer. Takes over [body]. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Begins an answer whose body follows in parts. */
    fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of the body. Takes over [data]. */
    fun write(data: ByteBuf)

    /** Ends the answer as complete. */
    fun end()

    /** Closes the connection, so that an answer that has begun does not look complete. */
    fun abort()
}

/** What a connection tells of its present request. */
interface CallerRequestListener {
    /** The caller has left. */
    fun onCallerGone()

    /** The caller has read enough for more to be written. */
    fun onWritable()
}
