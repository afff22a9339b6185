package org.guavahatch.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to one request of a caller. */
interface CallerResponder {
    /** Whether more of the answer may be read from its endpoint; false while the caller reads too slowly. */
    val mayReadOn: Boolean

    /** Sends a complete response. Takes ownership of [body]. */
    fun respond(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Begins a response whose body follows in parts. */
    fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of the body. Takes ownership of [data]. */
    fun write(data: ByteBuf)

    /** Completes the response. */
    fun end()

    /** Closes the connection, so that a response that has begun does not look complete. */
    fun abort()
}

/** Receives the events of a connection during a request. */
interface CallerRequestListener {
    /** The caller has closed the connection. */
    fun onCallerGone()

    /** More of the answer may be read from its endpoint. */
    fun onWritable()
}
