package org.guavahatch.gateway.endpoint

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.guavahatch.gateway.endOnLackOfMemory
import org.guavahatch.gateway.http.ArrivedInput
import org.guavahatch.gateway.http.EmbeddedResponse
import org.guavahatch.gateway.http.InspectableSocketChannel
import org.guavahatch.gateway.http.MalformedHeadException
import org.guavahatch.gateway.http.SingleHeadResponseDecoder
import org.guavahatch.gateway.http.excerpt
import org.guavahatch.model.time.Clock
import java.io.IOException

/** Receives the response of an endpoint to one request. The connection owns the buffers, valid during the call. */
interface EndpointResponseListener {
    /** Whether the body that was received so far is whole, as far as its content tells. */
    val isBodyWhole: Boolean

    /** The status line and headers of the response. */
    fun onHead(response: HttpResponse)

    /** The status line and headers of a response that is skipped, as it has another request id or none. */
    fun onSkipped(response: HttpResponse)

    /** A part of the body. */
    fun onData(data: ByteBuf)

    /** The response is complete. */
    fun onComplete()

    /** The response will not be completed, for [reason]. */
    fun onFailure(reason: String)
}

/**
 * One connection to an endpoint, with one request at a time.
 *
 * A response without the id of the request sent last belongs to an earlier request and is skipped. Such a connection,
 * and one on which bytes are received while no request is outstanding, carries no further request.
 *
 * A connection whose request ends without a whole response is reset: an endpoint may take an orderly end for that of
 * the caller's output only, or notice it late, and work on.
 *
 * @property number number of the connection within this process, for logs
 */
class EndpointConnection internal constructor(
    val channel: InspectableSocketChannel,
    val number: Long,
    private val requestIdHeader: String,
    private val pool: IdleConnections,
    private val clock: Clock,
    private val onUnexpectedBytes: (UnexpectedBytes) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val progressLimit = channel.pipeline().get(ProgressLimit::class.java)
    private val input = channel.pipeline().get(EndpointInput::class.java)
    private val decoder = channel.pipeline().get(SingleHeadResponseDecoder::class.java)
    private var listener: EndpointResponseListener? = null

    /** Whether the connection was closed or reset from outside, in contrast to one given up for what it carried. */
    var isLost: Boolean = false
        private set
    private var requestId = ""
    private var isBodyWritten = false
    private var isSkippingResponse = false
    private var isReadingResponse = false
    private var isSelfDelimited = false
    private var closesAfterResponse = false
    private var answeredAt: Long? = null
    private var embeddedResponse = EmbeddedResponse(requestIdHeader)
    private var hasUnexpectedBytes = false

    /** Number of requests sent on the connection. */
    var requests = 0
        private set

    /** Keep-alive timeout in milliseconds that the endpoint announced, or null if it announced none. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** Sends [request] with request id [id]; [responseListener] receives the response. */
    fun send(request: FullHttpRequest, id: String, responseListener: EndpointResponseListener) {
        listener = responseListener
        requestId = id
        requests++
        isBodyWritten = false
        isReadingResponse = false
        progressLimit.noteProgress()
        channel.writeAndFlush(request).addListener { future ->
            isBodyWritten = future.isSuccess
            if (!future.isSuccess) abort("request not written: ${future.cause().message}")
        }
    }

    /** Notes that an event of the current response is complete. */
    fun noteProgress() = progressLimit.noteProgress()

    /** Keeps the connection, on which nothing was sent, for reuse. */
    fun releaseUnused() = pool.release(this)

    /** Whether nothing was received since the last response, not even the end of the connection. */
    fun isReusable(): Boolean {
        val arrived = channel.inspect()
        if (arrived is ArrivedInput.Bytes) {
            reportUnexpected(
                UnexpectedBytes.Place.BEFORE_REUSE,
                arrived.content.readableBytes(),
                arrived.content.excerpt(EXCERPT_BYTES),
            )
        }
        return arrived == ArrivedInput.Nothing
    }

    /**
     * Aborts the current request with a TCP reset, which discards what was not transmitted. An endpoint can still read
     * what its system has received, so it may run the request even later.
     */
    fun reset() {
        listener = null
        if (channel.isOpen) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when {
                listener == null -> onIdleMessage(message)
                message is HttpResponse && message.decoderResult().isFailure -> abort("not an HTTP answer")
                message is HttpResponse -> readHead(message)
            }
            if (message is HttpContent) readContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (isIdle && decoder.unreadBytes > 0) {
            reportUnread(UnexpectedBytes.Place.IDLE)
            reset()
        }
        context.fireChannelReadComplete()
    }

    /** Whether no request is outstanding. The rest of one that was given up may still be decoded after the close. */
    private val isIdle: Boolean get() = listener == null && channel.isOpen

    private fun onIdleMessage(message: Any) {
        if (isIdle && message is HttpResponse) reportResponse(UnexpectedBytes.Place.IDLE, message)
        reset()
    }

    private fun readHead(response: HttpResponse) {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            isSkippingResponse = true
            return
        }
        val ids = response.headers().getAll(requestIdHeader).distinct()
        if (ids.size > 1) return abort("not an HTTP answer (two request ids)")
        isSkippingResponse = ids.singleOrNull() != requestId
        if (isSkippingResponse) {
            reportResponse(UnexpectedBytes.Place.OTHER_RESPONSE, response)
            listener?.onSkipped(response)
            return
        }
        if (hasTwoLengths(response)) return abort("not an HTTP answer (two lengths)")
        isReadingResponse = true
        embeddedResponse = EmbeddedResponse(requestIdHeader)
        progressLimit.noteProgress()
        isSelfDelimited = isSelfDelimited(response)
        closesAfterResponse = hasUnexpectedBytes || !HttpUtil.isKeepAlive(response) || !isSelfDelimited
        keepAliveMilliseconds = KeepAliveHeader.timeoutMilliseconds(response.headers().get("Keep-Alive"))
            ?: keepAliveMilliseconds
        listener?.onHead(response)
    }

    private fun readContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return abort("not an HTTP body")
        val isLast = content is LastHttpContent
        if (isSkippingResponse) {
            if (isLast) isSkippingResponse = false
            return
        }
        if (!isReadingResponse) return
        if (embeddedResponse.isFoundIn(content.content())) return abort("another answer inside the answer")
        if (content.content().isReadable) listener?.onData(content.content())
        if (!isLast) return
        when {
            !isSelfDelimited && !input.hasEndedInOrder -> abort("closed before the end of the answer")
            listener?.isBodyWhole == false -> abort("the stream ended inside an event or without one")
            else -> complete()
        }
    }

    private fun complete() {
        val current = listener ?: return
        listener = null
        isReadingResponse = false
        answeredAt = clock.monotonicMilliseconds()
        if (decoder.unreadBytes > 0) reportUnread(UnexpectedBytes.Place.BEHIND_RESPONSE)
        val isReused = !closesAfterResponse && !hasUnexpectedBytes && isBodyWritten && channel.isActive
        // An endpoint that responds before it has the whole body would parse the rest of it as another request.
        if (isReused) pool.release(this) else channel.close()
        current.onComplete()
    }

    private fun reportResponse(place: UnexpectedBytes.Place, response: HttpResponse) {
        val id = response.headers().get(requestIdHeader).orEmpty()
        reportUnexpected(place, null, "${response.protocolVersion()} ${response.status()}, request id $id")
    }

    private fun reportUnread(place: UnexpectedBytes.Place) =
        reportUnexpected(place, decoder.unreadBytes, decoder.unreadExcerpt(EXCERPT_BYTES))

    private fun reportUnexpected(place: UnexpectedBytes.Place, count: Int?, excerpt: String) {
        if (hasUnexpectedBytes) return
        hasUnexpectedBytes = true
        val sinceAnswer = answeredAt?.let { clock.monotonicMilliseconds() - it }
        onUnexpectedBytes(UnexpectedBytes(number, requests, requestId, place, count, excerpt, sinceAnswer))
    }

    private fun abort(reason: String) {
        val current = listener
        reset()
        current?.onFailure(reason)
    }

    private fun abortLost(reason: String) {
        isLost = true
        abort(reason)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) abortLost(CLOSED_BY_ENDPOINT)
        context.fireUserEventTriggered(event)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, exception: Throwable) {
        context.channel().eventLoop().endOnLackOfMemory(exception)
        if (exception is MalformedHeadException) reportMalformed(exception)
        if (exception is IOException) isLost = true
        abort(exception.message ?: exception.javaClass.simpleName)
    }

    private fun reportMalformed(exception: MalformedHeadException) {
        val place = when {
            isIdle -> UnexpectedBytes.Place.IDLE
            // A first response that is garbled is no late part of an earlier one.
            listener != null && requests > 1 -> UnexpectedBytes.Place.HEAD
            else -> return
        }
        reportUnexpected(place, decoder.unreadBytes, exception.excerpt)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(this)
        abortLost(CLOSED_BY_ENDPOINT)
    }

    companion object {
        private const val EXCERPT_BYTES = 64
        private const val FIRST_FINAL_STATUS = 200
        private const val CLOSED_BY_ENDPOINT = "closed by the endpoint"

        /** Whether the end of [response] can be told from the end of its connection. */
        fun isSelfDelimited(response: HttpResponse): Boolean = HttpUtil.isTransferEncodingChunked(response) ||
            HttpUtil.isContentLengthSet(response) ||
            response.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
            response.status() in BODILESS

        /** Statuses whose responses have no body (RFC 9112, section 6.3). */
        private val BODILESS = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)

        /** Whether [response] has both a length and chunks (RFC 9112, section 6.3). */
        private fun hasTwoLengths(response: HttpResponse): Boolean =
            response.headers().contains(HttpHeaderNames.CONTENT_LENGTH) &&
                response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
    }
}
