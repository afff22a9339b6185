package org.guavahatch.coordination.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.guavahatch.coordination.store.PlatformError
import java.net.ConnectException

/**
 * An answer of the platform.
 *
 * @property status HTTP status
 * @property body body as text
 */
internal data class PlatformAnswer(val status: Int, val body: String)

/**
 * Calls the platform's services by HTTP.
 *
 * @property baseUrl address of the services, without a slash at the end
 * @property timeoutMilliseconds how long a call may take, default 1000
 */
public class PlatformClient(
    internal val baseUrl: String,
    private val timeoutMilliseconds: Long = DEFAULT_TIMEOUT_MILLISECONDS,
) : AutoCloseable {
    private val client = SingleTryClient.create(MAXIMUM_CONNECTIONS, timeoutMilliseconds)

    /**
     * Calls [path].
     *
     * @param isWrite whether a lost answer may have left an effect
     */
    internal suspend fun call(
        step: String,
        method: HttpMethod,
        path: String,
        isWrite: Boolean,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): Either<PlatformError, PlatformAnswer> {
        val peer = "$baseUrl$path"
        return try {
            withTimeout(timeoutMilliseconds) { send(method, peer, configure) }.let { answer ->
                if (answer.status >=
                    FIRST_SERVER_ERROR
                ) {
                    failure(step, peer, "status ${answer.status}", isWrite)
                } else {
                    answer.right()
                }
            }
        } catch (exception: TimeoutCancellationException) {
            failure(step, peer, "no answer within $timeoutMilliseconds ms", isWrite)
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
    ): PlatformAnswer = client.prepareRequest {
        this.method = method
        url(url)
        configure()
    }.execute { response -> PlatformAnswer(response.status.value, response.bodyAsText()) }

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
