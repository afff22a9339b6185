package org.guavahatch.gateway.endpoint

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Receives what an endpoint answers to one request. Buffers belong to the connection during the call. */
interface EndpointAnswer {
    /** The head of the answer. */
    fun onHead(response: HttpResponse)

    /** A part of the body. */
    fun onData(data: ByteBuf)

    /** The answer is complete. */
    fun onComplete()

    /** The answer will not be completed; [cause] is for logs. */
    fun onBroken(cause: String)
}

/**
 * One connection to an endpoint, with one request at a time.
 *
 * Answers that do not name the request that was sent last belong to an earlier one and are passed over. Bytes that come
 * while no request is out close the connection.
 */
class EndpointConnection internal constructor(
    val channel: Channel,
    private val requestIdHeader: String,
    private val pool: IdleConnections,
    private val limit: ProgressLimit,
) : ChannelInboundHandlerAdapter() {
    private var answer: EndpointAnswer? = null
    private var requestId = ""
    private var isBodyWritten = false
    private var isSkipping = false
    private var isReading = false
    private var isLastUse = false
    private var cause = "closed by the endpoint"

    /** Milliseconds for which the endpoint keeps the connection open without a request, or null if it did not tell. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** Sends [request], whose identity is [id]; what comes back goes to [receiver]. */
    fun send(request: FullHttpRequest, id: String, receiver: EndpointAnswer) {
        answer = receiver
        requestId = id
        isBodyWritten = false
        isReading = false
        limit.noteProgress()
        channel.writeAndFlush(request).addListener { future ->
            isBodyWritten = future.isSuccess
            if (!future.isSuccess) channel.close()
        }
    }

    /** Notes that an event of the present answer is whole. */
    fun noteProgress() = limit.noteProgress()

    /** Gives up the present request: the connection is reset, and what the endpoint has not received is dropped. */
    fun abandon() {
        answer = null
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when {
                answer == null -> channel.close()
                message is HttpResponse && message.decoderResult().isFailure -> breakOff("not an HTTP answer")
                message is HttpResponse -> readHead(message)
            }
            if (message is HttpContent) readContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun readHead(response: HttpResponse) {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            isSkipping = true
            return
        }
        isSkipping = response.headers().get(requestIdHeader) != requestId
        if (isSkipping) return
        isReading = true
        limit.noteProgress()
        isLastUse = !HttpUtil.isKeepAlive(response) || !isSelfDelimited(response)
        keepAliveMilliseconds = KeepAliveHeader.timeoutMilliseconds(response.headers().get("Keep-Alive"))
            ?: keepAliveMilliseconds
        answer?.onHead(response)
    }

    private fun isSelfDelimited(response: HttpResponse) = HttpUtil.isTransferEncodingChunked(response) ||
        HttpUtil.isContentLengthSet(response) ||
        response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)

    private fun readContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return breakOff("not an HTTP body")
        val isLast = content is LastHttpContent
        if (isSkipping) {
            if (isLast) isSkipping = false
            return
        }
        if (!isReading) return
        if (content.content().isReadable) answer?.onData(content.content())
        if (isLast) complete()
    }

    private fun complete() {
        val receiver = answer ?: return
        answer = null
        isReading = false
        // An endpoint that answers before it has the whole body would take the rest for another request.
        if (isLastUse || !isBodyWritten || !channel.isActive) channel.close() else pool.release(this)
        receiver.onComplete()
    }

    private fun breakOff(reason: String) {
        cause = reason
        channel.close()
        fail()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, exception: Throwable) {
        // A reset must not look like the regular end of an answer without a length.
        breakOff(exception.message ?: exception.javaClass.simpleName)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(this)
        fail()
    }

    private fun fail() {
        val receiver = answer ?: return
        answer = null
        receiver.onBroken(cause)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
    }
}
