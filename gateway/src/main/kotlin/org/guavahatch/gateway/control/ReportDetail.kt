package org.guavahatch.gateway.control

/** What a report to the peers tells of the use of client accounts and of prompt parts that end endpoints. */
enum class ReportDetail {
    /** Nothing. */
    LOAD,

    /** The use of the accounts that has changed since the last [COMPLETE] report, and all prompt parts. */
    CHANGES,

    /** The use and the levels of all accounts, and all prompt parts. */
    COMPLETE,
}
