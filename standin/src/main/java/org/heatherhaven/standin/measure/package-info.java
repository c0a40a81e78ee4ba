/** Experiments that compare strategies in a scenario on a deployment, with tables, JSON and plots of the results. */
package org.heatherhaven.standin.measure;
