package org.heatherhaven.core.logic.retry;

/** Retry strategies; measurements compare them with each other. */
public enum RetryMode {
    /**
     * One retry budget for the whole call tree of a root request, passed down in parts, and a budget for each service.
     */
    BUDGET {
        @Override
        public int retriesForChild(int balance) {
            return (balance + 1) / 2;
        }

        @Override
        public boolean allows(int attempt, int balance) {
            return balance > 0;
        }
    },
    /** Every hop makes up to three attempts, independently of all others. */
    EVERY_HOP {
        private static final int TRIES = 3;

        @Override
        public int retriesForChild(int balance) {
            return 0;
        }

        @Override
        public boolean allows(int attempt, int balance) {
            return attempt < TRIES;
        }
    };

    /**
     * Returns the part of a call's retries that is transferred to a child call. The child returns unused retries.
     *
     * @param balance number of retries left
     * @return number of retries for the child call
     */
    public abstract int retriesForChild(int balance);

    /**
     * Returns the part of a call's retries that is sent with an attempt. The last retry is not sent, because the
     * retries of a lost attempt are lost with it.
     *
     * @param balance retries left
     * @return number of retries for the attempt
     */
    public int retriesForAttempt(int balance) {
        return retriesForChild(balance) == 0 ? 0 : balance / 2;
    }

    /**
     * Returns whether another attempt may follow.
     *
     * @param attempt number of the attempt that failed, from 1
     * @param balance number of retries left
     * @return true if one more is within the budget
     */
    public abstract boolean allows(int attempt, int balance);
}
