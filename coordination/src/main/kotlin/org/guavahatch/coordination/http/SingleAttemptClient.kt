package org.guavahatch.coordination.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import org.apache.hc.client5.http.config.ConnectionConfig
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder
import org.apache.hc.core5.util.Timeout

/**
 * Creates HTTP clients that send each request only once, without retries or redirects. They do not half-close a
 * connection while they wait for a response, because many servers treat a half-closed connection as a caller that has
 * disconnected.
 */
public object SingleAttemptClient {
    /**
     * Creates a client, which the caller must close.
     *
     * @param maximumConnections maximum number of open connections, both in total and per server
     * @param connectMilliseconds timeout for establishing a connection
     */
    public fun create(maximumConnections: Int, connectMilliseconds: Long): HttpClient = HttpClient(Apache5) {
        expectSuccess = false
        followRedirects = false
        engine {
            socketTimeout = 0
            connectTimeout = connectMilliseconds
            connectionRequestTimeout = 0
            customizeClient {
                disableAutomaticRetries()
                disableRedirectHandling()
                disableCookieManagement()
                addExecInterceptorFirst("complete-cancellation", CompleteCancellation)
                setConnectionManager(
                    PoolingAsyncClientConnectionManagerBuilder.create()
                        .setMaxConnTotal(maximumConnections)
                        .setMaxConnPerRoute(maximumConnections)
                        .setDefaultConnectionConfig(connectionConfig(connectMilliseconds))
                        .build(),
                )
            }
        }
    }

    private fun connectionConfig(connectMilliseconds: Long): ConnectionConfig = ConnectionConfig.custom()
        .setConnectTimeout(Timeout.ofMilliseconds(connectMilliseconds))
        .setSocketTimeout(Timeout.DISABLED)
        .build()
}
