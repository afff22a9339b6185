package org.guavahatch.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import org.guavahatch.gateway.endOnLackOfMemory
import org.guavahatch.gateway.http.RequestHeadSyntax
import org.guavahatch.gateway.request.GatewayResponses
import org.guavahatch.model.time.Clock

/**
 * One connection of a caller: requests are read completely, one at a time, and responded to in order.
 *
 * @property requestIdHeader name of the header with the id of a request
 */
class CallerConnection(
    private val acceptor: RequestAcceptor,
    private val clock: Clock,
    private val requestIdHeader: String,
    private val monitor: UnreadMonitor,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private lateinit var output: UnreadOutput
    private val postponed = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var headReceivedAt = 0L
    private var body = RequestBody(acceptor.bodies, null)
    private var postponedBytes = 0L
    private var lingeringSince: Long? = null
    private var activeReply: Reply? = null
    private var isClosing = false

    /** Whether the last response is complete and not written to the connection yet. */
    private var isWriting = false
    private var hasReadRequest = false
    private var idleSince = clock.monotonicMilliseconds()

    override fun handlerAdded(handlerContext: ChannelHandlerContext) {
        context = handlerContext
        output = UnreadOutput(handlerContext, monitor) { activeReply?.listener?.onWritable() }
    }

    /**
     * Closes the connection if it has been idle for too long. If [isStopping], closes it at once if it is idle between
     * requests; a new connection gets some time for its first request, and a slow caller for the end of its response.
     */
    fun closeIfIdle(isStopping: Boolean) {
        lingeringSince?.let { return closeAfterLingering(it, isStopping) }
        if (activeReply != null || (isStopping && isWriting)) return
        val limits = acceptor.limits
        val limit = if (head != null) limits.headerTimeoutMilliseconds else limits.idleTimeoutMilliseconds
        val idle = idleMilliseconds()
        val isExpired = idle > limit
        if (head != null && isExpired) return refuse(HttpResponseStatus.REQUEST_TIMEOUT)
        val isUnused = head == null && (hasReadRequest || idle > FIRST_REQUEST_MILLISECONDS)
        if (isExpired || (isStopping && isUnused)) context.close()
    }

    /** Time without a part of a request or, between requests, without reading an answer. */
    private fun idleMilliseconds(): Long {
        val sinceRead = if (head == null) output.millisecondsWithoutRead() else null
        return sinceRead ?: (clock.monotonicMilliseconds() - idleSince)
    }

    private fun closeAfterLingering(since: Long, isStopping: Boolean) {
        val limit = if (isStopping) STOP_LINGER_MILLISECONDS else LINGER_MILLISECONDS
        if (clock.monotonicMilliseconds() - since > limit) context.close()
    }

    /** Refuses the request that is being read, if there is one. */
    fun refuseIncomplete() {
        if (head != null) refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    override fun channelRead(handlerContext: ChannelHandlerContext, message: Any) {
        if (activeReply != null || isClosing) {
            if (isClosing) ReferenceCountUtil.release(message) else postpone(message as HttpObject)
            return
        }
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun postpone(message: HttpObject) {
        postponed.addLast(message)
        val bytes = postponedBytes(message)
        postponedBytes += bytes
        acceptor.bodies.add(bytes)
        val isFull = postponed.size >= MAXIMUM_POSTPONED_MESSAGES || postponedBytes >= MAXIMUM_POSTPONED_BYTES
        if (isFull || !acceptor.bodies.hasRoomFor(0, 0)) context.channel().config().isAutoRead = false
    }

    private fun takePostponed(): HttpObject = postponed.removeFirst().also {
        val bytes = postponedBytes(it)
        postponedBytes -= bytes
        acceptor.bodies.add(-bytes)
    }

    private fun postponedBytes(message: HttpObject) =
        (message as? HttpContent)?.content()?.readableBytes()?.toLong() ?: 0L

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return refuseMalformed(message.decoderResult().cause())
        if (message is HttpRequest) readHead(message)
        if (message is HttpContent && head != null) readBody(message)
    }

    private fun readHead(request: HttpRequest) {
        val isAmbiguous = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH) &&
            request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        val isOneRequest = RequestHeadSyntax.problem(request, requestIdHeader) == null
        if (isAmbiguous || !isOneRequest || hasUnknownCoding(request)) return refuse(HttpResponseStatus.BAD_REQUEST)
        val contentLength = HttpUtil.getContentLength(request, 0L)
        if (contentLength > acceptor.limits.maximumBodyBytes) return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (!acceptor.bodies.hasRoomFor(contentLength, 0)) return refuseBody(request)
        head = request
        hasReadRequest = true
        headReceivedAt = clock.monotonicMilliseconds()
        idleSince = headReceivedAt
        body = RequestBody(acceptor.bodies, contentLength.takeIf { it > 0 })
        if (HttpUtil.is100ContinueExpected(request)) writeContinue()
    }

    /** Written past the codec, which would take it for the response to the request and count one too many. */
    private fun writeContinue() {
        val bytes = Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", Charsets.US_ASCII)
        context.pipeline().firstContext().writeAndFlush(bytes)
    }

    /** Whether the end of the body is unknown, since it is not in chunks only (RFC 9112, section 6.3). */
    private fun hasUnknownCoding(request: HttpRequest): Boolean {
        val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return codings.isNotEmpty() && codings.singleOrNull()?.trim().equals(CHUNKED, ignoreCase = true).not()
    }

    private fun readBody(content: HttpContent) {
        idleSince = clock.monotonicMilliseconds()
        if (body.size + content.content().readableBytes() > acceptor.limits.maximumBodyBytes) {
            return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (!body.append(content.content())) return head?.let(::refuseBody) ?: Unit
        if (content is LastHttpContent) submit()
    }

    private fun submit() {
        val request = head ?: return
        val reply = Reply(HttpUtil.isKeepAlive(request), request.method() == HttpMethod.HEAD)
        activeReply = reply
        output.requestId = request.headers().get(requestIdHeader).orEmpty()
        head = null
        val callerRequest =
            CallerRequest(request.method(), request.uri(), request.headers(), body.take(), headReceivedAt)
        val listener = acceptor.accept(callerRequest, reply)
        if (activeReply === reply) reply.listener = listener
    }

    private fun refuseMalformed(cause: Throwable) {
        val isTooLong = cause is TooLongHttpHeaderException
        refuse(
            if (isTooLong) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST,
        )
    }

    /** Responds to a request whose body finds no room. It was not passed on, so it never runs. */
    private fun refuseBody(request: HttpRequest) =
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, GatewayResponses.headers(acceptor.onBodyRefused(request)))

    /** Responds to a request that was not read completely, and closes, as the next request boundary is unknown. */
    private fun refuse(status: HttpResponseStatus, headers: HttpHeaders = GatewayResponses.headers(null)) {
        isClosing = true
        head = null
        body.discard()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.EMPTY_BUFFER,
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.channel().config().isAutoRead = true
        context.writeAndFlush(response).addListener { if (it.isSuccess) linger() else context.close() }
    }

    /**
     * Ends the output, and discards what the caller still sends. The system would reset a connection that is closed
     * before its input is read, and the caller might lose the response.
     */
    private fun linger() {
        lingeringSince = clock.monotonicMilliseconds()
        (context.channel() as DuplexChannel).shutdownOutput()
    }

    private fun finish(reply: Reply, isKeptOpen: Boolean) {
        activeReply = null
        idleSince = clock.monotonicMilliseconds()
        // The caller may have been disconnected by the write of this response; its next requests must not run.
        if (!isKeptOpen || !context.channel().isOpen) {
            isClosing = true
            return
        }
        check(reply.isEnded) { "The next request cannot be read before the reply has ended." }
        while (postponed.isNotEmpty() && activeReply == null && !isClosing) {
            channelRead(context, takePostponed())
        }
        if (postponed.isEmpty()) context.channel().config().isAutoRead = true
    }

    override fun channelWritabilityChanged(handlerContext: ChannelHandlerContext) {
        output.refresh()
    }

    override fun channelInactive(handlerContext: ChannelHandlerContext) {
        isClosing = true
        output.close()
        while (postponed.isNotEmpty()) ReferenceCountUtil.release(takePostponed())
        body.discard()
        val reply = activeReply ?: return
        activeReply = null
        reply.isEnded = true
        reply.listener?.onCallerGone()
    }

    override fun exceptionCaught(handlerContext: ChannelHandlerContext, exception: Throwable) {
        handlerContext.channel().eventLoop().endOnLackOfMemory(exception)
        // Resets by callers are usual; channelInactive follows and notifies the request.
        handlerContext.close()
    }

    private inner class Reply(private val isKeepAlive: Boolean, private val isHead: Boolean) : CallerResponder {
        var listener: CallerRequestListener? = null
        var isEnded = false
        private var isChunked = false

        override val mayReadOn: Boolean get() = output.mayReadOn()

        override fun respond(status: Int, headers: HttpHeaders, body: ByteBuf) {
            if (isEnded) {
                body.release()
                return
            }
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                body,
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
            if (!isHead) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            isEnded = true
            send(response, applyKeepAlive(headers))
        }

        override fun begin(status: Int, headers: HttpHeaders) {
            if (isEnded) return
            isChunked = true
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            applyKeepAlive(headers)
            context.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers))
        }

        override fun write(data: ByteBuf) {
            if (isEnded) data.release() else output.write(data)
        }

        override fun end() {
            if (isEnded) return
            isEnded = true
            send(LastHttpContent.EMPTY_LAST_CONTENT, isKeepAlive && !acceptor.isStopping)
        }

        override fun abort() {
            if (isEnded) return
            isEnded = true
            if (activeReply === this) activeReply = null
            isClosing = true
            context.close()
        }

        private fun applyKeepAlive(headers: HttpHeaders): Boolean {
            val isKeptOpen = isKeepAlive && !acceptor.isStopping
            if (!isKeptOpen) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            return isKeptOpen
        }

        private fun send(message: Any, isKeptOpen: Boolean) {
            isWriting = true
            val future = output.complete(message).addListener { isWriting = false }
            if (!isKeptOpen) future.addListener(ChannelFutureListener.CLOSE)
            if (activeReply === this) finish(this, isKeptOpen)
        }
    }

    private companion object {
        /** Time within which a caller sends its first request on a new connection. */
        const val FIRST_REQUEST_MILLISECONDS = 1_000L

        const val CHUNKED = "chunked"

        /** Number of queued messages of pipelined requests at which reading pauses. */
        const val MAXIMUM_POSTPONED_MESSAGES = 32

        /** Size of queued messages of pipelined requests at which reading pauses. */
        const val MAXIMUM_POSTPONED_BYTES = 65_536L

        /** Time for which the rest of a refused request is read; large bodies are sent within a few seconds. */
        const val LINGER_MILLISECONDS = 5_000L

        /** The same while the process stops. */
        const val STOP_LINGER_MILLISECONDS = 500L
    }
}
