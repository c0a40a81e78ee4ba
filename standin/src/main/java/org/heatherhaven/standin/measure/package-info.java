/** Experiments: a scenario, a deployment, ways of deciding side by side, figures and plots. */
package org.heatherhaven.standin.measure;
