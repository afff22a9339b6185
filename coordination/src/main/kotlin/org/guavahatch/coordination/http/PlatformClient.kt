package org.guavahatch.coordination.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.guavahatch.coordination.store.PlatformError
import java.io.IOException
import java.net.ConnectException

/**
 * A response of the platform.
 *
 * @property status HTTP status
 * @property body body as text
 */
internal data class PlatformResponse(val status: Int, val body: String)

/**
 * Calls the services of the platform over HTTP, each call on a connection of its own.
 *
 * @property baseUrl URL of the services, without a trailing slash
 * @property timeoutMilliseconds timeout of a call and of its connection attempt, default 1000
 */
public class PlatformClient(
    internal val baseUrl: String,
    private val timeoutMilliseconds: Long = DEFAULT_TIMEOUT_MILLISECONDS,
) : AutoCloseable {
    private val client = SingleAttemptClient.create(MAXIMUM_CONNECTIONS, timeoutMilliseconds)

    /**
     * Calls [path].
     *
     * @param isWrite whether the call may have taken effect if it fails without a usable response
     */
    internal suspend fun call(
        step: String,
        method: HttpMethod,
        path: String,
        isWrite: Boolean,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): Either<PlatformError, PlatformResponse> {
        val peer = "$baseUrl$path"
        return try {
            withTimeout(timeoutMilliseconds) { send(method, peer, configure) }.let { response ->
                if (response.status >= FIRST_SERVER_ERROR) {
                    failure(step, peer, "status ${response.status}", isWrite)
                } else {
                    response.right()
                }
            }
        } catch (exception: TimeoutCancellationException) {
            failure(step, peer, "no response within $timeoutMilliseconds ms", isWrite)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: ConnectException) {
            PlatformError.Unavailable(step, peer, "The connection was refused: ${exception.message}.").left()
        } catch (exception: Exception) {
            failure(step, peer, exception.toString(), isWrite)
        }
    }

    private suspend fun send(
        method: HttpMethod,
        url: String,
        configure: HttpRequestBuilder.() -> Unit,
    ): PlatformResponse = client.prepareRequest {
        this.method = method
        url(url)
        // No answer names its call, so bytes behind one must not be read by the next call on the connection.
        header(HttpHeaders.Connection, "close")
        configure()
    }.execute { response ->
        if (AnswerHeads.isPutTogether(response)) throw IOException("The answer is put together from two")
        PlatformResponse(response.status.value, response.bodyAsText())
    }

    private fun failure(step: String, peer: String, cause: String, isWrite: Boolean): Either<PlatformError, Nothing> {
        val detail = "The call failed: $cause."
        return if (isWrite) {
            PlatformError.Uncertain(step, peer, detail).left()
        } else {
            PlatformError.Unavailable(step, peer, detail).left()
        }
    }

    override fun close() {
        client.close()
    }

    private companion object {
        const val DEFAULT_TIMEOUT_MILLISECONDS = 1000L
        const val FIRST_SERVER_ERROR = 500
        const val MAXIMUM_CONNECTIONS = 256
    }
}
