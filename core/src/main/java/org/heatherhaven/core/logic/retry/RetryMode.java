package org.heatherhaven.core.logic.retry;

/** Ways of retrying that can be compared with each other. */
public enum RetryMode {
    /** One budget for the whole tree of a root request, handed down in parts, and a ratio for each service. */
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
    /** Every hop tries three times, whatever the others do. */
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
     * Part of a balance that goes to a call made for a request; what is unspent comes back.
     *
     * @param balance retries left
     * @return retries handed down
     */
    public abstract int retriesForChild(int balance);

    /**
     * Part of a balance that goes down with an attempt. The last retry stays here: a lost attempt loses its part.
     *
     * @param balance retries left
     * @return retries that go down
     */
    public int retriesForAttempt(int balance) {
        return retriesForChild(balance) == 0 ? 0 : balance / 2;
    }

    /**
     * Tells whether another attempt may follow.
     *
     * @param attempt number of the attempt that failed, from 1
     * @param balance retries left
     * @return true if one more is within the budget
     */
    public abstract boolean allows(int attempt, int balance);
}
