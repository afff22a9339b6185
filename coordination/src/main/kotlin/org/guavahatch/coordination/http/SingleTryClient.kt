package org.guavahatch.coordination.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import org.apache.hc.client5.http.config.ConnectionConfig
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder
import org.apache.hc.core5.util.Timeout

/**
 * Makes HTTP clients that send each request once: no retries, no redirects. Connections stay open in both directions
 * while an answer is awaited, since many servers take a half-closed connection for a caller that has gone.
 */
public object SingleTryClient {
    /**
     * A new client. The caller closes it.
     *
     * @param maximumConnections connections at once, in all and to one server
     * @param connectMilliseconds longest wait for a connection
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
